#pragma once

#include "event_loop.h"

#include "chestnutstand/transport/peer_client.h"

#include <functional>
#include <string>
#include <vector>

namespace chestnutstand {

/// Model of an upstream and its node, as other nodes reach them.
class model_member {
public:
    model_member(std::uint64_t instance, std::size_t data_centre)
        : instance_{instance}, data_centre_{data_centre}
    {
    }
    model_member(const model_member&) = delete;
    model_member& operator=(const model_member&) = delete;
    virtual ~model_member() = default;

    virtual void execute(const service_call& call, call_done done) = 0;
    virtual load_report report() const = 0;

    std::uint64_t instance() const { return instance_; }
    std::size_t data_centre() const { return data_centre_; }

    /// Whether the node responds to no calls and probes.
    bool silent = false;

private:
    const std::uint64_t instance_;
    const std::size_t data_centre_;
};

/// Delivers the calls and probes of one dispatcher to the members, with network latency in
/// simulated time. Calls to a silent member end at their deadline.
class model_network final : public peer_client {
public:
    using member_finder = std::function<model_member&(std::uint64_t instance)>;

    model_network(event_loop& loop, member_finder find, std::size_t data_centre,
                  milliseconds latency_between_data_centres)
        : loop_{loop}, find_{std::move(find)}, data_centre_{data_centre},
          latency_between_data_centres_{latency_between_data_centres}
    {
    }

    void execute(const node_reference& target, const service_call& call, call_done done) override;
    void probe(const node_reference& target, milliseconds timeout, probe_done done) override;

    void forward(const node_reference& /*owner*/, const service_call& /*call*/, bool /*query_only*/,
                 call_done /*done*/) override
    {
    }
    void settle(const node_reference& /*executor*/, const std::string& /*key*/,
                milliseconds /*timeout*/, settle_done /*done*/) override
    {
    }
    void fetch_changes(const node_reference& /*target*/, const fetch_request& /*request*/,
                       milliseconds /*timeout*/, changes_done /*done*/) override
    {
    }
    void sync_members(const node_reference& /*target*/, std::vector<std::string> /*members*/,
                      milliseconds /*timeout*/, members_done /*done*/) override
    {
    }

private:
    milliseconds one_way(const model_member& target) const;

    event_loop& loop_;
    member_finder find_;
    const std::size_t data_centre_;
    const milliseconds latency_between_data_centres_;
};

} // namespace chestnutstand
