#include <LibPeer/HelloCodec.h>

namespace lycheeseam {

namespace {

endpoint
DecodeTunnels(wire::Hello const& aTable)
{
  return aTable.tunnels() == nullptr
           ? endpoint{}
           : endpoint::Parse(aTable.tunnels()->string_view());
}

}

flatbuffers::Offset<wire::Hello>
EncodeHello(flatbuffers::FlatBufferBuilder& aBuilder, peer_hello const& aHello)
{
  return wire::CreateHello(
    aBuilder,
    aHello.mVersion,
    aBuilder.CreateString(aHello.mIdentity.mInstance.Text()),
    aHello.mIdentity.mIncarnation.Value(),
    aBuilder.CreateString(aHello.mFailureDomain.Text()),
    aBuilder.CreateString(aHello.mCallers.Text()),
    aBuilder.CreateString(aHello.mPeers.Text()),
    aHello.mCapacity,
    aHello.mTunnels.mPort == 0 ? flatbuffers::Offset<flatbuffers::String>{}
                               : aBuilder.CreateString(aHello.mTunnels.Text()));
}

peer_hello
DecodeHello(wire::Hello const& aTable)
{
  return { .mVersion = aTable.version(),
           .mIdentity = { .mInstance = instance_id{ aTable.instance()->str() },
                          .mIncarnation = incarnation{ aTable.incarnation() } },
           .mFailureDomain = failure_domain{ aTable.failure_domain()->str() },
           .mCallers = endpoint::Parse(aTable.callers()->string_view()),
           .mPeers = endpoint::Parse(aTable.peers()->string_view()),
           .mTunnels = DecodeTunnels(aTable),
           .mCapacity = aTable.capacity() };
}

}
