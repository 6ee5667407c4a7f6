-- The stand-in engine cancels the answer to a disconnected caller; other
-- answers continue.
local engine = start_engine("engine-1", { tokens_per_second = 100 })
local dropped = begin(chat(engine.url, "dropped", { max_tokens = 100000 }))
local kept = begin(chat(engine.url, "kept", { max_tokens = 30 }))
wait_for_tokens(dropped, 3)
drop(dropped)
finish(dropped)
wait_until("the engine has cancelled the dropped call", function() return counts(engine).cancelled == 1 end)
expect_complete_stream(finish(kept), "kept", 30)
