#include <LibPeer/EncodeBlockMessage.h>

#include <span>
#include <string>
#include <vector>

namespace lycheeseam {

namespace {

// The value of cached_tokens in updates sent before the answer.
constexpr token_count kNoAnswerYet = -1;

// Builds the table of each kind of message.
class block_encoder
{
public:
  explicit block_encoder(flatbuffers::FlatBufferBuilder& aBuilder)
    : mBuilder(aBuilder)
  {
  }

  encoded_body operator()(block_lookup const& aLookup)
  {
    return MakeBody(wire::Body::BlockLookup,
                    wire::CreateBlockLookup(mBuilder,
                                            aLookup.mNumber.Value(),
                                            Text(aLookup.mPool.Text()),
                                            Blocks(aLookup.mBlocks)));
  }

  encoded_body operator()(block_answer const& aAnswer)
  {
    std::vector<flatbuffers::Offset<wire::KnownPrefix>> known;
    for (known_prefix const& prefix : aAnswer.mKnown)
      known.push_back(wire::CreateKnownPrefix(mBuilder,
                                              Text(prefix.mServer.Text()),
                                              prefix.mIncarnation.Value(),
                                              prefix.mTokens));
    return MakeBody(wire::Body::BlockAnswer,
                    wire::CreateBlockAnswer(mBuilder,
                                            aAnswer.mNumber.Value(),
                                            mBuilder.CreateVector(known),
                                            aAnswer.mStoredTokens));
  }

  encoded_body operator()(block_update const& aUpdate)
  {
    return MakeBody(
      wire::Body::BlockUpdate,
      wire::CreateBlockUpdate(mBuilder,
                              Text(aUpdate.mServer.Text()),
                              aUpdate.mIncarnation.Value(),
                              Blocks(aUpdate.mBlocks),
                              aUpdate.mCachedTokens.value_or(kNoAnswerYet)));
  }

private:
  flatbuffers::Offset<flatbuffers::String> Text(std::string const& aText)
  {
    return mBuilder.CreateString(aText);
  }

  flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> Blocks(
    std::span<block_hash const> aBlocks)
  {
    std::vector<std::uint64_t> values;
    for (block_hash const block : aBlocks)
      values.push_back(block.Value());
    return mBuilder.CreateVector(values);
  }

  flatbuffers::FlatBufferBuilder& mBuilder;
};

}

encoded_body
EncodeBlockMessage(flatbuffers::FlatBufferBuilder& aBuilder,
                   block_message const& aMessage)
{
  return std::visit(block_encoder{ aBuilder }, aMessage);
}

}
