// Runs the detection experiment over all cells and writes a Markdown page and
// an SVG picture.
//
// usage: detection_bench [RUNS [HOURS [FOLDER]]]
//   RUNS    runs of each service, load, fault and policy (default 3)
//   HOURS   healthy upstream-hours a deployment and load (default 100)
//   FOLDER  writes measurements-detection.md and detection.svg there;
//           without it the page goes to standard output

#include "detection/report.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace oriolegrade::detection;
    const unsigned runs =
        argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 3;
    const double hours = argc > 2 ? std::atof(argv[2]) : 100;
    if (runs == 0 || hours <= 0) {
        std::cerr << "RUNS and HOURS must be above zero\n";
        return 2;
    }
    const auto measured = measure(runs, hours);
    if (argc <= 3) {
        std::cout << markdown(measured);
        return 0;
    }
    const std::string folder = argv[3];
    std::ofstream(folder + "/measurements-detection.md") << markdown(measured);
    std::ofstream(folder + "/detection.svg") << picture(measured);
}
