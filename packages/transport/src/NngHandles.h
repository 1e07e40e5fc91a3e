#pragma once

#include <nng/nng.h>
#include <stdexcept>
#include <string>

namespace kumquatbank {

/// Throws std::runtime_error unless @p error is 0. Only for calls that fail when memory is exhausted or the
/// arguments are invalid; failures of the network are values.
inline void checkNng(int error)
{
    if (error != 0)
        throw std::runtime_error(std::string("nng: ") + nng_strerror(error));
}

/// Owns an nng_aio without a callback: start an operation with it, then wait.
class NngAio {
public:
    NngAio() { checkNng(nng_aio_alloc(&m_aio, nullptr, nullptr)); }
    ~NngAio() { nng_aio_free(m_aio); }
    NngAio(const NngAio&) = delete;
    NngAio& operator=(const NngAio&) = delete;

    nng_aio* get() const { return m_aio; }

    /// Waits for the operation in progress and returns its error, 0 for success.
    int wait() const
    {
        nng_aio_wait(m_aio);
        return nng_aio_result(m_aio);
    }

private:
    nng_aio* m_aio = nullptr;
};

} // namespace kumquatbank
