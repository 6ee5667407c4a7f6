#pragma once

namespace lycheeseam {

/// One of the operators' tables.
enum class table_kind
{
  Routes,
  Pools,
  Keys,
  Workspaces,
};

}
