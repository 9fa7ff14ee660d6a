// The thread that reads the platform's list of instances.
//
// Those that watch the documents (document_duty.hpp) watch the list too; others
// have it from their peers, and read it now and then in case that every
// watcher is cut off. While the service is down it tries again with backoff
// and jitter. It never takes anything back: the membership refuses a list that
// is older than what it holds.
#pragma once

#include <greengagedrum/base/time.hpp>
#include <greengagedrum/config_service/service_client.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace greengagedrum::daemon
{

class peer_duty;

class platform_watch
{
public:
    platform_watch(const std::vector<std::string>& addresses,
                   peer_duty& peers,
                   std::function<bool()> watching,
                   std::uint64_t seed);
    ~platform_watch();
    platform_watch(const platform_watch&) = delete;
    platform_watch& operator=(const platform_watch&) = delete;

    void start();
    void stop();

    std::uint64_t calls() const;

    // Calls without an answer.
    std::uint64_t failures() const { return this->failed; }

private:
    void pause_for(base::duration length);
    void await_turn(std::mt19937_64& generator);
    void watch_instances();
    void note_failure(std::string_view watch, std::uint32_t in_a_row);
    void note_answer(std::string_view watch, std::uint32_t failures_before);
    void pause(std::mt19937_64& generator, std::uint32_t failures);

    config_service::service_client instance_service;
    peer_duty& peers;
    std::function<bool()> watching;
    std::uint64_t seed;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> failed{0};
    std::thread instance_thread;
};

} // namespace greengagedrum::daemon
