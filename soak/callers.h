#pragma once

#include "deployment.h"
#include "records.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace chestnutstand::soak {

/// Callers that keep their connections open, and a reader of the nodes' versions. Threads run until
/// stop() is called.
class callers {
public:
    /// The start is the zero of all recorded times.
    callers(deployment& all, std::uint64_t seed, std::size_t threads, time_point start);
    ~callers();

    void stop();

    /// Calls each route through each node once; whether all were served.
    bool all_served();

    /// What was recorded; after stop.
    const std::vector<call_record>& calls() const { return calls_; }
    const std::vector<version_record>& versions() const { return versions_; }

private:
    void run(std::size_t caller, std::uint64_t seed);
    call_record call(http_client& client, const std::string& id, std::size_t node,
                     const std::string& service, bool repeatable) const;
    void read_versions();
    double elapsed() const { return (ms_clock::now() - start_).count(); }

    deployment& all_;
    time_point start_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<call_record> calls_;
    std::vector<version_record> versions_;
    std::unique_ptr<http_client> probe_client_ = make_http_client();
    std::size_t probes_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace chestnutstand::soak
