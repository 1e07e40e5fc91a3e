#pragma once

/// Include before any cxxtools header. cxxtools 3.0 uses std::allocator members that C++20 removed
/// (`reference`, `pointer` and their const forms); this specialization gives them back for its character type.

#include <cstddef>
#include <limits>
#include <memory>
#include <new>

namespace cxxtools {
class Char;
}

namespace std {

template <>
class allocator<cxxtools::Char> {
public:
    using value_type = cxxtools::Char;
    using size_type = std::size_t;
    using difference_type = std::ptrdiff_t;
    using pointer = cxxtools::Char*;
    using const_pointer = const cxxtools::Char*;
    using reference = cxxtools::Char&;
    using const_reference = const cxxtools::Char&;
    using propagate_on_container_move_assignment = std::true_type;
    using is_always_equal = std::true_type;

    allocator() noexcept = default;
    template <typename Other>
    allocator(const std::allocator<Other>&) noexcept // NOLINT(google-explicit-constructor): rebinding converts
    {
    }

    cxxtools::Char* allocate(std::size_t n);
    void deallocate(cxxtools::Char* data, std::size_t) noexcept { ::operator delete(data); }

    friend bool operator==(const allocator&, const allocator&) noexcept { return true; }
};

} // namespace std

#include <cxxtools/char.h>

namespace std {

inline cxxtools::Char* allocator<cxxtools::Char>::allocate(std::size_t n)
{
    if (n > std::numeric_limits<std::ptrdiff_t>::max() / sizeof(cxxtools::Char))
        throw std::bad_array_new_length();
    return static_cast<cxxtools::Char*>(::operator new(n * sizeof(cxxtools::Char)));
}

} // namespace std

static_assert(sizeof(cxxtools::Char) == 4, "the library was built with 32-bit characters");
