// Runs every load pattern against every placement in virtual time, measures how
// workspaces share a service and what decisions cost, and writes a Markdown
// page and pictures.
//
// usage: dispatch_bench [FOLDER [SEED]]
//   FOLDER  writes measurements-dispatch.md and dispatch.svg there; without it,
//           or with "-", the table goes to standard output
//   SEED    of the arrivals and of the upstreams' faults (default 1)

#include "dispatch_report.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace oriolegrade::bench;
    const std::string folder = argc > 1 ? argv[1] : "-";
    const auto seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    if (seed == 0) {
        std::cerr << "SEED must be a number above zero\n";
        return 2;
    }
    const auto measured = measure_dispatch(seed);
    if (folder == "-") {
        std::cout << dispatch_tables(measured) << workspace_table(seed)
                  << cost_table(seed);
        return 0;
    }
    std::ofstream page(folder + "/measurements-dispatch.md");
    page << dispatch_page(measured, seed);
    std::ofstream picture(folder + "/dispatch.svg");
    picture << dispatch_picture(measured);
    if (!page.flush() || !picture.flush()) {
        std::cerr << folder << ": cannot write\n";
        return 1;
    }
}
