#pragma once

namespace lycheeseam {

/// The unit of a workspace's rate and burst.
enum class quota_unit
{
  Requests,
  Tokens,
};

}
