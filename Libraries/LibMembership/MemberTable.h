#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/IncarnationHistory.h>
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
/// the state of its peer sooner. While a link is up, what the list says of
/// another incarnation of its peer is ignored, and afterwards what it may still
/// say of one that the link has replaced.
class member_table
{
public:
  member_table(member aSelf, member_table_options aOptions);

  /// Applies a new state of the platform's list.
  void SetList(std::span<member const> aListed, instant aNow);

  /// A link to the peer is up.
  void OnPeerUp(member const& aPeer, instant aNow);

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

  /// True unless an incarnation of an instance is known to have ended. One that
  /// no link or list has shown yet may have just started.
  [[nodiscard]] bool MayRun(instance_identity const& aIdentity) const;

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
    incarnation_history mHistory;
  };

  [[nodiscard]] entry* FindIdentity(instance_identity const& aIdentity);
  // Takes over what the list says of an instance.
  void UpdateFromList(member const& aListed, instant aNow);
  static void Replace(entry& aEntry, member const& aMember, instant aNow);
  void DropUnlisted(instant aNow);

  instance_id mSelf;
  member_table_options mOptions;
  std::map<instance_id, entry> mEntries;
};

}
