#include "kumquatbank/admission/AdmissionController.h"

#include <utility>

namespace kumquatbank {

AdmissionTicket::AdmissionTicket(
    AdmissionController* controller, std::string entry, Rank rank, TimePoint startedAt, Milliseconds waited)
    : m_controller(controller)
    , m_entry(std::move(entry))
    , m_rank(rank)
    , m_startedAt(startedAt)
    , m_waited(waited)
{
}

AdmissionTicket::AdmissionTicket(AdmissionTicket&& other) noexcept
    : m_controller(std::exchange(other.m_controller, nullptr))
    , m_entry(std::move(other.m_entry))
    , m_rank(other.m_rank)
    , m_startedAt(other.m_startedAt)
    , m_waited(other.m_waited)
{
}

AdmissionTicket& AdmissionTicket::operator=(AdmissionTicket&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_controller = std::exchange(other.m_controller, nullptr);
    m_entry = std::move(other.m_entry);
    m_rank = other.m_rank;
    m_startedAt = other.m_startedAt;
    m_waited = other.m_waited;
    return *this;
}

AdmissionTicket::~AdmissionTicket() { release(); }

} // namespace kumquatbank
