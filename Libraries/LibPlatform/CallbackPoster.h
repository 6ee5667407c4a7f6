#pragma once

#include <concepts>
#include <functional>

namespace lycheeseam {

/// Posts a callback to the thread that owns a client. Any thread may call it.
template<typename Poster>
concept callback_poster = std::copy_constructible<Poster> &&
  requires(Poster const& aPoster, std::function<void()> aCallback)
{
  aPoster(aCallback);
};

}
