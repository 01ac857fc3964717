#pragma once

#include "chestnutstand/config/deputy_search.h"
#include "chestnutstand/config/document.h"
#include "chestnutstand/config/evacuation_follower.h"
#include "chestnutstand/support/clock.h"
#include "chestnutstand/support/name_table.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace chestnutstand {

/// How a node reads the source of the document.
enum class reader_role : std::uint8_t {
    none,    ///< Takes changes from peers only.
    standby, ///< Reads continuously, with few requests; a lost response may delay a change for
             ///< long.
    lead,    ///< Reads continuously and notices a lost response within the time that a change may
             ///< take to come into force.
};

inline constexpr name_table<reader_role, 3> reader_role_names{{"none", "standby", "lead"}};

/// Tells a source without changes from one whose responses are lost.
struct source_progress {
    /// Last response of the source; nullopt before the first one.
    std::optional<time_point> answered_at;
    /// Start of the read that waits for a response; nullopt if there is none.
    std::optional<time_point> waiting_since;
};

/// Keeps the configuration document up to date from a source that all nodes share, and serves it to
/// peers, so that nodes that cannot reach the source get updates too. A position is a number that
/// grows with every update of the document. All methods except current() are called on the control
/// thread.
class configuration {
public:
    configuration() = default;
    configuration(const configuration&) = delete;
    configuration& operator=(const configuration&) = delete;
    virtual ~configuration() = default;

    virtual void start() = 0;

    /// The document in force; null until there is one. Safe to call from any thread.
    virtual const snapshot<document>& current() const = 0;

    /// Adds a listener that is called whenever the position has advanced.
    virtual void on_advance(std::function<void(std::uint64_t position)> listener) = 0;

    virtual void set_reader_role(reader_role role) = 0;

    /// Number of nodes per data centre that should read the source continuously, the lead included.
    virtual std::size_t wanted_readers() const = 0;

    virtual source_progress progress() const = 0;

    /// Reports that a peer has advanced to a position; when that is ahead of this node, the changes
    /// are fetched from the peer.
    virtual void hint(const node_reference& peer, std::uint64_t position) = 0;

    /// Evacuated data centres; null if the source does not have them.
    virtual evacuation_follower* evacuations() { return nullptr; }

    /// Reports that a peer has a state of the evacuated data centres with this digest; when this
    /// node has another one, it is fetched from the peer.
    virtual void hint_evacuations(const node_reference& /*peer*/, std::uint64_t /*digest*/) {}

    /// Response to a peer that has advanced to a position: the changes after it.
    virtual fetched_changes handle_fetch(const fetch_request& request) const = 0;

    /// Response to a peer that cannot reach the source, after a read of the source. A source that
    /// does not read for peers responds with what the node has.
    virtual void handle_source_fetch(const fetch_request& request,
                                     const peer_client::changes_done& done)
    {
        done(handle_fetch(request));
    }

    /// Sets the function that lists the nodes that may be asked to read the source.
    virtual void
    set_deputy_candidates(const std::function<std::vector<deputy_candidate>()>& /*list*/)
    {
    }
};

} // namespace chestnutstand
