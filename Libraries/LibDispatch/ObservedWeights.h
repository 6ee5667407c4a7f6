#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// The version of a model's weights that an answer or a state report of an
/// engine carried.
struct observed_weights
{
  backend_server_id mServer;
  incarnation mIncarnation;
  model_name mModel;
  std::uint64_t mVersion = 0;

  bool operator==(observed_weights const&) const = default;
};

}
