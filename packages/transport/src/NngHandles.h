#pragma once

#include <memory>
#include <nng/nng.h>
#include <stdexcept>
#include <string>
#include <utility>

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

/// Owns an nng context of a REQ or REP socket.
class NngContext {
public:
    explicit NngContext(nng_socket socket) { checkNng(nng_ctx_open(&m_context, socket)); }
    ~NngContext() { nng_ctx_close(m_context); }
    NngContext(const NngContext&) = delete;
    NngContext& operator=(const NngContext&) = delete;

    nng_ctx get() const { return m_context; }

private:
    nng_ctx m_context = NNG_CTX_INITIALIZER;
};

struct NngMessageDeleter {
    void operator()(nng_msg* message) const { nng_msg_free(message); }
};
using NngMessage = std::unique_ptr<nng_msg, NngMessageDeleter>;

/// Message that holds a copy of @p bytes, a contiguous container of byte-sized elements.
template <typename Bytes>
NngMessage makeNngMessage(const Bytes& bytes)
{
    nng_msg* message = nullptr;
    checkNng(nng_msg_alloc(&message, 0));
    NngMessage owned(message);
    checkNng(nng_msg_append(message, bytes.data(), bytes.size()));
    return owned;
}

} // namespace kumquatbank
