#include "chestnutstand/config/evacuation_follower.h"

#include "chestnutstand/support/log.h"

#include <memory>
#include <utility>

namespace chestnutstand {
namespace {

/// Far less than the time that the operator gets to write its records again.
constexpr milliseconds settle_interval{250};

std::string join(const std::set<std::string>& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : " ") + name;
    }
    return text;
}

} // namespace

void evacuation_follower::start()
{
    loop_.repeat(settle_interval, [this] {
        const auto era = state_.era();
        if (state_.settle(ms_clock::now())) {
            publish(era, "store after a rollback");
        }
    });
}

void evacuation_follower::on_change(std::function<void(const name_set&)> listener)
{
    change_listeners_.push_back(std::move(listener));
}

void evacuation_follower::on_digest(std::function<void(std::uint64_t)> listener)
{
    digest_listeners_.push_back(std::move(listener));
}

void evacuation_follower::on_rollback(std::function<void(std::uint64_t)> listener)
{
    rollback_listeners_.push_back(std::move(listener));
}

void evacuation_follower::observe_listing(const keyed_page& page)
{
    const auto era = state_.era();
    if (state_.apply_listing({page.era, page.next}, page.evacuations, ms_clock::now())) {
        publish(era, "store");
    }
}

void evacuation_follower::observe_records(const keyed_page& page)
{
    const auto era = state_.era();
    if (state_.apply_records(page.era, page.evacuations, ms_clock::now())) {
        publish(era, "store");
    }
}

bool evacuation_follower::merge(const std::string& text)
{
    const auto received = decode_evacuations(text);
    if (!received) {
        return false;
    }
    const auto era = state_.era();
    if (state_.merge(received->era, received->entries, ms_clock::now())) {
        publish(era, "peer");
    }
    return true;
}

void evacuation_follower::publish(std::uint64_t era_before, const char* source)
{
    const auto names = state_.evacuated();
    const auto before = current_.load();
    if (before ? *before != names : !names.empty()) {
        log_event(log_level::warning, "evacuated data centres changed",
                  {{"source", std::string{source}}, {"evacuated", join(names)}});
        current_.store(std::make_shared<const name_set>(names));
        for (const auto& listener : change_listeners_) {
            listener(names);
        }
    }
    const bool has_rolled_back = era_before != 0 && state_.era() != era_before;
    if (has_rolled_back) {
        log_event(log_level::warning, "store came back from an older copy",
                  {{"source", std::string{source}}, {"era", state_.era()}, {"before", era_before}});
    }
    digest_ = state_.digest();
    for (const auto& listener : digest_listeners_) {
        listener(digest_);
    }
    if (has_rolled_back) {
        for (const auto& listener : rollback_listeners_) {
            listener(state_.era());
        }
    }
}

} // namespace chestnutstand
