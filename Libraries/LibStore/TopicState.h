#pragma once

#include <LibStore/TopicPage.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

/// Tracks the newest known record of each key of a topic. It filters out known
/// and outdated records, since pages may arrive twice, late, from peers, or
/// from a store whose reads lag.
class topic_state
{
public:
  /// Returns the records of a page that are newer than the known ones, in their
  /// order. A complete page holds the newest record of every key: a known key
  /// that is missing from it was deleted, unless its record is newer than the
  /// page. Each such deletion is returned as a record without a value.
  [[nodiscard]] std::vector<keyed_record> Apply(topic_page const& aPage,
                                                bool aIsComplete);

  /// The newest record of each key that isn't deleted.
  [[nodiscard]] std::vector<keyed_record> Records() const;

private:
  struct known_key
  {
    store_position mPosition;
    /// Nothing when the key is deleted.
    std::optional<std::string> mValue;
  };
  using known_keys = std::map<std::string, known_key>;

  void AddDeletions(topic_page const& aPage,
                    std::vector<keyed_record>& aNewRecords);

  known_keys mKeys;
};

}
