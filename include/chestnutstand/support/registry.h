#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace chestnutstand {

/// Named factories of one kind of plug-in.
template <typename Plugin, typename... Args>
class registry {
public:
    using factory = std::function<std::unique_ptr<Plugin>(Args...)>;

    static registry& instance()
    {
        static registry only;
        return only;
    }

    void add(std::string name, factory make)
    {
        factories_.emplace(std::move(name), std::move(make));
    }

    /// A new plug-in, or null when no plug-in has that name.
    std::unique_ptr<Plugin> make(std::string_view name, Args... args) const
    {
        const auto found = factories_.find(name);
        return found == factories_.end() ? nullptr : found->second(std::forward<Args>(args)...);
    }

    const std::map<std::string, factory, std::less<>>& factories() const { return factories_; }

private:
    std::map<std::string, factory, std::less<>> factories_;
};

/// A file-local object of this type registers Implementation before main starts.
template <typename Implementation, typename Plugin, typename... Args>
struct registration {
    explicit registration(std::string name)
    {
        registry<Plugin, Args...>::instance().add(std::move(name), [](Args... args) {
            return std::make_unique<Implementation>(std::forward<Args>(args)...);
        });
    }
};

} // namespace chestnutstand
