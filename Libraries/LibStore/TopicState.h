#pragma once

#include <LibStore/TopicPage.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheeseam {

/// Which record of each key of a topic is known, so that pages may come twice,
/// late, from peers, or from a store whose reads lag behind.
class topic_state
{
public:
  /// The records of a page that are news, in their order. A whole page holds
  /// the newest record of every key: a known key that it lacks was dropped,
  /// unless its record is newer than the page.
  [[nodiscard]] std::vector<keyed_record> Take(topic_page const& aPage,
                                               bool aIsWhole);

private:
  struct known_key
  {
    std::uint64_t mOffset = 0;
    bool mIsDropped = false;
  };
  using known_keys = std::map<std::string, known_key>;

  void AddMissing(topic_page const& aPage, std::vector<keyed_record>& aNews);

  known_keys mKeys;
};

}
