#pragma once

#include "deployment.h"
#include "records.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace chestnutstand::soak {

/// Threads that call the nodes over persistent connections, and one that polls the config version
/// of each node. They run until stop() is called.
class callers {
public:
    /// Recorded times are relative to `start`.
    callers(deployment& cluster, std::uint64_t seed, std::size_t threads, time_point start);
    ~callers();

    void stop();

    /// Sends a call for each service to each node; returns whether all got status 200.
    bool all_served();

    /// Records of the run; valid after stop().
    const std::vector<call_record>& calls() const { return calls_; }
    const std::vector<version_record>& versions() const { return versions_; }

private:
    void run(std::size_t caller, std::uint64_t seed);
    call_record call(http_client& client, const std::string& id, std::size_t node,
                     const std::string& service, bool repeatable) const;
    void poll_versions();
    double elapsed() const { return (ms_clock::now() - start_).count(); }

    deployment& cluster_;
    time_point start_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<call_record> calls_;
    std::vector<version_record> versions_;
    std::unique_ptr<http_client> probe_client_ = make_http_client();
    std::size_t probe_count_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace chestnutstand::soak
