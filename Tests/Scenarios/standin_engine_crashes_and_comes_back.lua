-- A crash of the stand-in engine cuts its streams; after a restart it has a
-- larger incarnation.
local engine = start_engine("engine-1", { tokens_per_second = 200 })
local before = counts(engine).incarnation
control(engine, { crash_after_tokens = 5 })
local answer = send(chat(engine.url, "cut", { max_tokens = 1000 }))
expect(answer.error ~= "", "the stream is cut")
expect_equal(wait_for_end("engine-1", BOUND_MS).code, 70, "exit code")

engine = start_engine("engine-1", engine.flags)
expect(counts(engine).incarnation > before, "a restarted engine has a larger incarnation")
control(engine, { crash_on = "poison" })
expect_complete_stream(send(chat(engine.url, "good")), "good", 8)
expect(send(chat(engine.url, "poison")).error ~= "", "the poison request is cut")
expect_equal(wait_for_end("engine-1", BOUND_MS).code, 70, "exit code")
