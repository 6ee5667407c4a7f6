#pragma once

namespace lycheeseam {

/// Names one of the tables that operators configure.
enum class table_kind
{
  Routes,
  Pools,
  Keys,
  Workspaces,
};

}
