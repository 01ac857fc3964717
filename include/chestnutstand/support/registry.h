#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace chestnutstand {

/// Factories for plug-ins of one type, by name.
template <typename Plugin, typename... Args>
class registry {
public:
    using factory = std::function<std::unique_ptr<Plugin>(Args...)>;

    static registry& instance()
    {
        static registry singleton;
        return singleton;
    }

    void add(std::string name, factory make)
    {
        factories_.emplace(std::move(name), std::move(make));
    }

    /// Creates the plug-in with this name; null when there is none.
    std::unique_ptr<Plugin> make(std::string_view name, Args... args) const
    {
        const auto found = factories_.find(name);
        return found == factories_.end() ? nullptr : found->second(std::forward<Args>(args)...);
    }

    const std::map<std::string, factory, std::less<>>& factories() const { return factories_; }

private:
    std::map<std::string, factory, std::less<>> factories_;
};

/// Registers Implementation under a name. To be defined as a file-local object, whose constructor
/// runs before main starts.
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
