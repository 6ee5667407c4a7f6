#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A model on an engine and the version of its weights, a number that increases
/// with each release.
struct loaded_model
{
  model_name mModel;
  std::uint64_t mVersion = 0;

  bool operator==(loaded_model const&) const = default;
};

}
