// One entry as a process of its own, on an address of the loopback network.
#pragma once

#include <greengagedrum/platform/settings_file.hpp>
#include <greengagedrum/relay/asio.hpp>

#include "child_process.hpp"
#include "lowered_descriptor_limit.hpp"
#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

namespace end_to_end
{

namespace asio = greengagedrum::relay::asio;
using greengagedrum::relay::error_code;
using tcp = asio::ip::tcp;

inline constexpr std::uint16_t callers_port = 8080;
inline constexpr std::uint16_t readiness_port = 8082;
inline constexpr std::uint16_t control_port = 9001;
inline constexpr std::uint16_t peer_port = 9100;
inline constexpr std::uint16_t metrics_port = 9464;

// An address of the loopback network for each test program and fixture.
inline std::string next_address()
{
    static unsigned count = 0;
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(200 + process % 50) + "." +
           std::to_string(process / 50 % 250) + "." + std::to_string(++count);
}

struct entry_process_fixture {
    entry_process_fixture()
    {
        std::array<char, 32> pattern{"/tmp/entry-start-XXXXXX"};
        this->folder = ::mkdtemp(pattern.data());
        this->write_settings();
    }

    void write_settings() const
    {
        std::ofstream(this->folder + "/settings.toml")
            << "nodeName = \"entry\"\nzone = \"hall\"\nip = \"" << this->ip
            << "\"\nseedNodes = []\ninternalPortRange = [" << peer_port << ", "
            << peer_port + 9 << "]\n[listen]\nfrontend = \""
            << this->at(callers_port) << "\"\nreadiness = \""
            << this->at(readiness_port) << "\"\ncontrolPlane = \""
            << this->at(control_port) << "\"\n[limits]\n"
            << this->limits << "[bounds]\ngraceS = " << this->grace.count()
            << "\n[platform]\naddress = \"" << this->at(7000) << "\"\n";
    }

    std::string at(std::uint16_t port) const
    {
        return this->ip + ":" + std::to_string(port);
    }
    tcp::endpoint endpoint(std::uint16_t port) const
    {
        return {asio::ip::make_address(this->ip), port};
    }

    std::unique_ptr<child_process> start(const std::string& log = "log") const
    {
        ::setenv(greengagedrum::platform::settings_variable,
                 (this->folder + "/settings.toml").c_str(),
                 1);
        return std::make_unique<child_process>("greengagedrum-entry",
                                               std::vector<std::string>{},
                                               this->folder + "/" + log);
    }

    // Whether something listens there within that time.
    bool listens(std::uint16_t port, std::chrono::milliseconds most)
    {
        const auto end = std::chrono::steady_clock::now() + most;
        do {
            tcp::socket socket(this->context);
            error_code fault;
            socket.connect(this->endpoint(port), fault);
            if (!fault)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        } while (std::chrono::steady_clock::now() < end);
        return false;
    }

    std::string log(const std::string& name = "log") const
    {
        std::ostringstream out;
        out << std::ifstream(this->folder + "/" + name).rdbuf();
        return out.str();
    }

    std::string ip = next_address();
    std::chrono::seconds grace{8};
    std::string limits; // lines of the settings
    std::string folder;
    asio::io_context context;
};

} // namespace end_to_end
