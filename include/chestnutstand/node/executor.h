#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/keys/executor_keys.h"
#include "chestnutstand/support/metrics.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/transport/http_client.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace chestnutstand {

/// The upstream that registered at this node.
struct local_upstream {
    std::string service;
    /// http://ip:port
    std::string base_url;
    std::uint32_t slots = 0;

    friend bool operator==(const local_upstream&, const local_upstream&) = default;
};

/// Runs calls on the upstream beside this node.
class executor {
public:
    executor(std::uint64_t instance, http_client& client, metrics& stats, executor_keys& keys);

    /// Sets or removes the upstream; calls that run on the old one go on.
    void set_upstream(std::optional<local_upstream> upstream);
    std::optional<local_upstream> upstream() const;

    /// Refuses all further calls.
    void begin_drain();

    void execute(std::uint64_t target_instance, call what, const call_done& done);

    load_report report() const;
    bool idle() const;

private:
    std::optional<reason> refusal(std::uint64_t target_instance, const call& what) const;
    void start(std::uint64_t target_instance, call what, const std::optional<key_id>& key,
               const call_done& done);
    void refuse(const std::optional<key_id>& key, reason why, const call_done& done);
    void finish(const call& what, http_result result, const call_done& done);

    const std::uint64_t instance_;
    http_client& client_;
    metrics& stats_;
    executor_keys& keys_;
    mutable std::mutex mutex_;
    std::optional<local_upstream> upstream_;
    bool draining_ = false;
    std::uint32_t in_flight_ = 0;
    milliseconds latency_{0};
};

} // namespace chestnutstand
