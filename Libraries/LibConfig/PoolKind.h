#pragma once

namespace lycheeseam {

/// What stands behind a pool.
enum class pool_kind
{
  /// Model engines: OpenAI's calls, prefix caches, streams.
  Model,
  /// Plain HTTP services.
  Service,
};

}
