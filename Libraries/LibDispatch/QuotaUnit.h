#pragma once

namespace lycheeseam {

/// What a workspace's rate and burst are counted in.
enum class quota_unit
{
  Requests,
  Tokens,
};

}
