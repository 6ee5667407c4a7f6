#pragma once

#include <concepts>
#include <functional>

namespace lycheeseam {

/// Runs a closure later on the thread that owns a client; callable from any
/// thread.
template<typename Poster>
concept callback_poster = std::copy_constructible<Poster> &&
  requires(Poster const& aPoster, std::function<void()> aCallback)
{
  aPoster(aCallback);
};

}
