#pragma once

#include "chestnutstand/support/clock.h"

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chestnutstand {

/// Decides which tenant of one queue is served next, and which one loses a call when the queue is
/// full, so that a tenant with many calls does not starve the others: deficit round robin by
/// expected work. It knows how many calls of each tenant wait and their work; the queue keeps the
/// calls and decides which one of the tenant's calls it takes.
///
/// In each turn, a tenant may be served until it has used up its credit of one quantum of work. The
/// work of a call is charged when the call is served, so the credit of a tenant may fall below zero
/// by the work of one call; the tenant is then passed over until the quanta of later turns have
/// made up for that. The order in which the queue takes the calls of one tenant may therefore
/// change at any time. Over a period in which two tenants always have calls waiting, the work
/// served to them differs by at most twice the sum of the quantum and the largest work of a call.
///
/// Calls without a tenant are those of the tenant with the empty name. A queue in which only one
/// tenant has calls gets that tenant from every decision, so its order does not change.
///
/// Use: add() for each call that joins the queue; when a slot is free, serve a call of next() and
/// report it with serve(); when the queue is too long, remove a call of displaced_first(), which
/// may be the call that has just been added, and report it with remove(). A queue that serves by
/// another order while it is not standing reports those calls with remove(), so that they cost no
/// credit. Not thread-safe; does no I/O and reads no clock.
class tenant_rotation {
public:
    /// A small quantum gives the finest interleaving. It should not exceed the mean work of a call.
    explicit tenant_rotation(milliseconds quantum) : quantum_{quantum} {}

    /// A call has joined the queue. The work must be reported unchanged when it leaves.
    void add(std::string_view tenant, milliseconds work);

    /// A call has left the queue without being served in its turn.
    void remove(std::string_view tenant, milliseconds work);

    /// A call has been served in the turn of its tenant.
    void serve(std::string_view tenant, milliseconds work);

    /// Tenant whose call is to be served next. At least one call must wait. The result is valid
    /// until the next change; without a change, it stays the same.
    std::string_view next();

    /// Tenant that loses a call first: the one with the most work waiting, of equal ones the one
    /// with the least credit, then the last by name. At least one call must wait.
    std::string_view displaced_first() const;

    bool empty() const { return waiting_calls_ == 0; }

    /// Number of calls of a tenant that wait.
    std::size_t waiting(std::string_view tenant) const;

    /// Number of tenants that are remembered: those with waiting calls, and those that have used
    /// more than their credit. The latter are forgotten once later turns have made up for it, or
    /// when no call waits.
    std::size_t size() const { return turns_.size(); }

private:
    struct turn {
        std::string tenant;
        std::size_t calls = 0;
        milliseconds work{0};
        milliseconds credit{0};
    };
    using turn_list = std::list<turn>;

    turn_list::iterator find(std::string_view tenant);
    void take_out(turn_list::iterator served, milliseconds work);
    void erase(turn_list::iterator idle);
    void end_turn();
    void skip_empty_rounds();

    milliseconds quantum_;
    std::size_t waiting_calls_ = 0;
    /// In the order of their turns; the first one has its turn now.
    turn_list turns_;
    std::unordered_map<std::string, turn_list::iterator> by_tenant_;
};

} // namespace chestnutstand
