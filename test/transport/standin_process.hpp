// Runs the stand-in program that was built beside the test program.

#ifndef ORIOLEGRADE_TEST_TRANSPORT_STANDIN_PROCESS_HPP
#define ORIOLEGRADE_TEST_TRANSPORT_STANDIN_PROCESS_HPP

#include <csignal>
#include <filesystem>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace oriolegrade::test {

class standin_process
{
public:
    /// @param arguments mode and flags; the stand-in picks a free port
    explicit standin_process(std::vector<std::string> arguments)
    {
        const auto program =
            std::filesystem::read_symlink("/proc/self/exe").parent_path() /
            "oriole-standin";
        arguments.insert(arguments.begin(), program.string());
        std::vector<char*> argv;
        for (auto& it : arguments) {
            argv.push_back(it.data());
        }
        argv.push_back(nullptr);
        int fds[2];
        if (::pipe(fds) != 0) {
            return;
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, fds[1], 1);
        posix_spawn_file_actions_addclose(&actions, fds[0]);
        if (::posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                          argv.data(), environ) != 0) {
            pid_ = -1;
        }
        posix_spawn_file_actions_destroy(&actions);
        ::close(fds[1]);
        read_port(fds[0]);
        ::close(fds[0]);
    }
    ~standin_process()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
    }
    standin_process(const standin_process&) = delete;
    standin_process& operator=(const standin_process&) = delete;

    /// 0 when the program did not start.
    unsigned short port() const
    {
        return port_;
    }

private:
    void read_port(int fd)
    {
        std::string line;
        char c = 0;
        while (::read(fd, &c, 1) == 1 && c != '\n') {
            line += c;
        }
        const auto colon = line.rfind(':');
        if (colon != std::string::npos) {
            port_ =
                static_cast<unsigned short>(std::stoi(line.substr(colon + 1)));
        }
    }

    pid_t pid_ = -1;
    unsigned short port_ = 0;
};

} // namespace oriolegrade::test

#endif
