#pragma once

namespace lycheeseam {

/// The kind of backend servers in a pool.
enum class pool_kind
{
  /// Engines that run a model: the OpenAI API, prefix caches and streams.
  Model,
  /// HTTP services without a model.
  Service,
};

}
