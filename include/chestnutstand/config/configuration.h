#pragma once

#include "chestnutstand/config/document.h"
#include "chestnutstand/support/snapshot.h"
#include "chestnutstand/transport/peer_client.h"

#include <cstdint>
#include <functional>

namespace chestnutstand {

/// Keeps the configuration document up to date from a source that all nodes share, and passes it on
/// to peers, so that a node that cannot reach the source follows as well. Used on the control
/// thread, except for current().
class configuration {
public:
    configuration() = default;
    configuration(const configuration&) = delete;
    configuration& operator=(const configuration&) = delete;
    virtual ~configuration() = default;

    virtual void start() = 0;

    /// The document in force; null until there is one. Callable from any thread.
    virtual const snapshot<document>& current() const = 0;

    /// Calls a listener whenever the document has advanced. Positions grow with every change.
    virtual void on_advance(std::function<void(std::uint64_t position)> listener) = 0;

    /// Whether this node reads the source all the time.
    virtual void set_tailing(bool tailing) = 0;

    /// Number of nodes per data centre that should read the source.
    virtual std::size_t wanted_readers() const = 0;

    /// A peer has advanced to a position; what is newer is fetched from it.
    virtual void hint(const node_reference& peer, std::uint64_t position) = 0;

    /// Answers a peer that has advanced to a position.
    virtual fetched_changes handle_fetch(std::uint64_t position) const = 0;
};

} // namespace chestnutstand
