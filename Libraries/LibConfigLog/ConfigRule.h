#pragma once

namespace lycheeseam {

/// What a proposal can break.
enum class config_rule
{
  /// It has changes, and changes each row once.
  DistinctChanges,
  /// It landed by its last offset, which is not too far ahead.
  LastOffset,
  /// A row's name is well formed and the one it is filed under.
  RowName,
  /// A row's numbers lie within their bounds.
  Bounds,
  /// A route's path prefix starts with a slash and is taken once a model.
  PathPrefix,
  /// A row names a pool that exists and suits it.
  MissingPool,
  /// A pool that routes name stays.
  PoolInUse,
  /// A key names a workspace that exists.
  MissingWorkspace,
  /// A workspace that keys name stays.
  WorkspaceInUse,
  /// A pool's servers are well formed and listed once.
  Servers,
};

}
