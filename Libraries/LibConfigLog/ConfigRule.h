#pragma once

namespace lycheeseam {

/// A rule that every proposal must keep.
enum class config_rule
{
  /// A proposal has at least one change, and changes each row at most once.
  DistinctChanges,
  /// Its last offset is at most config_fold::kMaxLastOffsetLead ahead of its
  /// own offset.
  LastOffset,
  /// A row's name is well formed and equals the name in its change.
  RowName,
  /// A row's numbers and texts lie within their bounds, and a pool names a
  /// model exactly when it is a model pool.
  Bounds,
  /// A route's path prefix starts with a slash, and no other route has the
  /// same prefix and model.
  PathPrefix,
  /// A route names a pool that exists; a route with a model names a model
  /// pool.
  MissingPool,
  /// A pool that a route names can't be removed.
  PoolInUse,
  /// A key names a workspace that exists.
  MissingWorkspace,
  /// A workspace that a key names can't be removed.
  WorkspaceInUse,
  /// A pool's servers are well formed and listed once, and a server has the
  /// same address in every pool.
  Servers,
};

}
