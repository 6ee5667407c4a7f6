#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A model on an engine, with the version of its weights; versions are whole
/// numbers that grow.
struct loaded_model
{
  model_name mModel;
  std::uint64_t mVersion = 0;

  bool operator==(loaded_model const&) const = default;
};

}
