#pragma once

#include "chestnutstand/config/evacuation_state.h"
#include "chestnutstand/config/keyed_store.h"
#include "chestnutstand/support/control_loop.h"
#include "chestnutstand/support/snapshot.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace chestnutstand {

/// Keeps the evacuated data centres and the era of the store up to date, from the pages that a
/// record_follower reads and from the states of peers. All methods except evacuated() are called on
/// the control thread.
class evacuation_follower {
public:
    using name_set = std::set<std::string>;

    explicit evacuation_follower(control_loop& loop) : loop_{loop} {}

    void start();

    /// Names of the evacuated data centres; null while there have been none. Safe to call from any
    /// thread.
    const snapshot<name_set>& evacuated() const { return current_; }

    /// Adds a listener that is called with the evacuated data centres whenever they change.
    void on_change(std::function<void(const name_set&)> listener);

    /// Adds a listener that is called with the digest of the state whenever it changes. Peers with
    /// another digest fetch the state.
    void on_digest(std::function<void(std::uint64_t)> listener);

    /// Adds a listener that is called when the store has come back from an older copy. Not called
    /// for the first era that this node learns of.
    void on_rollback(std::function<void(std::uint64_t era)> listener);

    void observe_listing(const keyed_page& page);
    void observe_records(const keyed_page& page);

    /// Merges the state of a peer; false if the text is none.
    bool merge(const std::string& text);

    /// Text form of the state for peers.
    std::string text() const { return encode_evacuations(state_); }
    std::uint64_t digest() const { return digest_; }
    std::uint64_t era() const { return state_.era(); }

private:
    /// Calls the listeners after a change of the state.
    void publish(std::uint64_t era_before, const char* source);

    control_loop& loop_;
    evacuation_state state_;
    std::uint64_t digest_ = 0;
    snapshot<name_set> current_;
    std::vector<std::function<void(const name_set&)>> change_listeners_;
    std::vector<std::function<void(std::uint64_t)>> digest_listeners_;
    std::vector<std::function<void(std::uint64_t)>> rollback_listeners_;
};

} // namespace chestnutstand
