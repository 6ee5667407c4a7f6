#pragma once

namespace lycheeseam {

/// Whether a field of a settings file may be left out.
enum class field_presence
{
  Required,
  Optional,
};

}
