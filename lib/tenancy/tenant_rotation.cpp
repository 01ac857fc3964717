#include "chestnutstand/tenancy/tenant_rotation.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace chestnutstand {

tenant_rotation::turn_list::iterator tenant_rotation::find(std::string_view tenant)
{
    const auto found = by_tenant_.find(std::string{tenant});
    return found == by_tenant_.end() ? turns_.end() : found->second;
}

void tenant_rotation::add(std::string_view tenant, milliseconds work)
{
    auto joined = find(tenant);
    if (joined == turns_.end()) {
        // The first tenant has its turn at once; the others get their quantum when it comes.
        turns_.push_back(
            {std::string{tenant}, 0, milliseconds{0}, turns_.empty() ? quantum_ : milliseconds{0}});
        joined = std::prev(turns_.end());
        by_tenant_.emplace(joined->tenant, joined);
    }
    ++joined->calls;
    joined->work += work;
    ++waiting_calls_;
}

void tenant_rotation::remove(std::string_view tenant, milliseconds work)
{
    const auto left = find(tenant);
    if (left != turns_.end() && left->calls > 0) {
        take_out(left, work);
    }
}

void tenant_rotation::serve(std::string_view tenant, milliseconds work)
{
    const auto served = find(tenant);
    if (served != turns_.end() && served->calls > 0) {
        served->credit -= work;
        take_out(served, work);
    }
}

void tenant_rotation::take_out(turn_list::iterator served, milliseconds work)
{
    --served->calls;
    --waiting_calls_;
    // Sums of doubles leave a remainder.
    served->work =
        served->calls == 0 ? milliseconds{0} : std::max(served->work - work, milliseconds{0});
    if (waiting_calls_ == 0) {
        // Nobody has waited for the work of another tenant.
        turns_.clear();
        by_tenant_.clear();
        return;
    }
    // A tenant that leaves with unused credit would otherwise collect it while it does not wait.
    // One that has used more than its credit stays, so that it cannot avoid the charge by leaving.
    if (served->calls == 0 && served->credit >= milliseconds{0}) {
        erase(served);
    }
}

void tenant_rotation::erase(turn_list::iterator idle)
{
    const bool had_turn = idle == turns_.begin();
    by_tenant_.erase(idle->tenant);
    turns_.erase(idle);
    if (had_turn && !turns_.empty()) {
        turns_.front().credit += quantum_;
    }
}

void tenant_rotation::end_turn()
{
    turns_.splice(turns_.end(), turns_, turns_.begin());
    turns_.front().credit += quantum_;
}

/// Gives all tenants the quanta of the rounds in which none of them could be served, so that the
/// cost of a decision does not depend on the size of the quantum.
void tenant_rotation::skip_empty_rounds()
{
    auto least_debt = milliseconds::max();
    for (const turn& waiting : turns_) {
        if (waiting.calls > 0) {
            least_debt = std::min(least_debt, -waiting.credit);
        }
    }
    const milliseconds skipped =
        quantum_ * std::max(0.0, std::floor(least_debt.count() / quantum_.count()));
    for (turn& waiting : turns_) {
        waiting.credit += skipped;
    }
}

std::string_view tenant_rotation::next()
{
    const auto may_be_served = [](const turn& first) {
        return first.calls > 0 && first.credit > milliseconds{0};
    };
    if (!may_be_served(turns_.front())) {
        skip_empty_rounds();
    }
    while (!may_be_served(turns_.front())) {
        turn& first = turns_.front();
        if (first.calls == 0 && first.credit >= milliseconds{0}) {
            erase(turns_.begin());
            continue;
        }
        end_turn();
    }
    return turns_.front().tenant;
}

std::string_view tenant_rotation::displaced_first() const
{
    const auto found =
        std::max_element(turns_.begin(), turns_.end(), [](const turn& left, const turn& right) {
            return std::make_tuple(left.calls > 0, left.work, -left.credit, left.tenant) <
                   std::make_tuple(right.calls > 0, right.work, -right.credit, right.tenant);
        });
    return found->tenant;
}

std::size_t tenant_rotation::waiting(std::string_view tenant) const
{
    const auto found = by_tenant_.find(std::string{tenant});
    return found == by_tenant_.end() ? 0 : found->second->calls;
}

} // namespace chestnutstand
