#pragma once

namespace lycheeseam {

/// Who read a page of a topic.
enum class page_source
{
  /// This instance.
  Store,
  /// Another instance, which passed it on.
  Peer,
};

}
