#pragma once

namespace lycheeseam {

/// Which end opened a link.
enum class link_direction
{
  Dialled,
  Accepted,
};

}
