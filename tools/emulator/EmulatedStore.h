#pragma once

#include "kumquatbank/engine/AutoResetEvent.h"
#include "kumquatbank/engine/HttpListener.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace kumquatbank {

/// How the store behaves; may change at any time.
struct StoreBehaviour {
    bool isDown = false; ///< Every call gets 503.
    int answersToLose = 0; ///< So many writes are done, and their answers lost.
    bool goesDownAfterLostAnswers = false; ///< The store is down once the last of these is lost.
};

/// The platform's object store: kinds, conditional writes, watches, a bounded history, and returns from an older copy.
class EmulatedStore {
public:
    EmulatedStore(asio::io_context& io, const HostAddress& address);

    using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;

    /// What the store holds at one moment.
    struct Copy {
        Objects objects;
        std::uint64_t revision = 0;
    };

    StoreBehaviour& behaviour() { return m_behaviour; }
    /// Answers at a further address as well, each time after @p delay.
    void listenAlso(const HostAddress& address, std::chrono::milliseconds delay = std::chrono::milliseconds(0));
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    /// Puts an object whose spec is sent exactly as @p spec says, also if that is no JSON value of ours.
    void putText(const std::string& kind, const std::string& name, std::string spec);
    void remove(const std::string& kind, const std::string& name);
    /// Null if there is no such object.
    nlohmann::json get(const std::string& kind, const std::string& name) const;
    /// Drops the history, so that watches have to list again.
    void forgetHistory() { m_firstRevision = m_revision + 1; }
    std::uint64_t calls() const { return m_calls; }

    Copy copy() const { return { m_objects, m_revision }; }
    /// Replaces the contents by an older copy: later changes are lost, their revisions are given out again, waiting
    /// watches are cut off, and a new era begins.
    void restore(const Copy& copy);
    std::uint64_t revision() const { return m_revision; }
    std::uint64_t era() const { return m_era; }

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json object;
        bool isRemoved;
    };

    Task<HttpResponse> answer(HttpRequest request);
    Task<HttpResponse> answerLate(HttpRequest request, std::chrono::milliseconds delay);
    Task<HttpResponse> process(HttpRequest request);
    Task<HttpResponse> watch(std::string kind, std::uint64_t revision, std::chrono::milliseconds wait);
    /// The objects behind @p after, as many as one page holds.
    HttpResponse listPage(const std::map<std::string, nlohmann::json>& objects, const std::string& after) const;
    HttpResponse change(const std::string& method, const std::string& kind, const std::string& name, const std::string& body);
    void store(const std::string& kind, const std::string& name, nlohmann::json object);

    asio::io_context& m_io;
    StoreBehaviour m_behaviour;
    Objects m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 1;
    std::uint64_t m_firstRevision = 1;
    std::uint64_t m_era = 1;
    std::uint64_t m_calls = 0;
    std::vector<std::shared_ptr<AutoResetEvent>> m_waiters;
    HttpListener m_listener;
    std::vector<std::unique_ptr<HttpListener>> m_furtherListeners;
};

} // namespace kumquatbank
