#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/Member.h>
#include <LibMembership/MemberTableOptions.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Combines the platform's list of instances with the state of links.
///
/// The list lags, but has instances without a link to this one; a link shows
/// the state of its peer sooner. Reports of an incarnation older than the
/// newest known are ignored, whatever their source.
class member_table
{
public:
  member_table(member aSelf, member_table_options aOptions);

  /// Applies a new state of the platform's list.
  void SetList(std::span<member const> aListed, instant aNow);

  /// A link to the peer is up.
  void OnPeerUp(member const& aPeer);

  /// The last link to the peer closed.
  void OnPeerDown(instance_identity const& aPeer, instant aNow);

  /// The peer reported that it is leaving.
  void OnLeaving(instance_identity const& aPeer);

  /// This instance is leaving.
  void OnSelfLeaving();

  /// All known instances in order of their names, including this one.
  [[nodiscard]] std::vector<member> Members() const;

  /// The instances whose addresses callers may get: not leaving, and without a
  /// link that closed and hasn't been opened again.
  [[nodiscard]] std::vector<member> Usable() const;

  /// The identity of the newest known incarnation of an instance.
  [[nodiscard]] std::optional<instance_identity> IdentityOf(
    instance_id const& aInstance) const;

private:
  struct entry
  {
    member mMember;
    bool mIsListed = false;
    bool mIsLinked = false;
    /// When the last link closed; nothing while one is up or before the first.
    std::optional<instant> mLinkClosedAt;
  };

  [[nodiscard]] entry* FindIdentity(instance_identity const& aIdentity);
  void Update(member const& aMember);
  void DropUnlisted(instant aNow);

  instance_id mSelf;
  member_table_options mOptions;
  std::map<instance_id, entry> mEntries;
};

}
