// Acceptance test: the npm package `openai`, unmodified, against a system started by `Meta/chicorydock.sh run`.
//   npm ci --prefix Tests/Clients
//   CHICORYDOCK_URL=http://127.0.0.1:PORT CHICORYDOCK_KEY=demo-key node Tests/Clients/openai.mjs
import assert from "node:assert/strict";
import test from "node:test";
import OpenAI, { toFile } from "openai";

const baseURL = `${process.env.CHICORYDOCK_URL ?? "http://127.0.0.1:8080"}/v1`;
const model = "flag-assistant";
// No retries, so that the test sees every error of the system.
const client = new OpenAI({ baseURL, apiKey: process.env.CHICORYDOCK_KEY ?? "demo-key", maxRetries: 0 });
const pollIntervalMs = 500;
const batchCeilingMs = 60_000;

const messages = [{ role: "user", content: "May a flag have a fringe?" }];

// Guards against a list that the client's pagination cannot read.
test("models are listed and retrieved", async () => {
    const ids = [];
    for await (const it of client.models.list())
        ids.push(it.id);
    assert.ok(ids.includes(model), `models are ${ids}`);
    assert.equal((await client.models.retrieve(model)).id, model);
    await assert.rejects(client.models.retrieve("no-such-model"), OpenAI.NotFoundError);
});

// Guards against responses that lack members required by the client's types.
test("a completion and a chat are answered", async () => {
    const completion = await client.completions.create({ model, prompt: "Hem of a flag:", max_tokens: 16 });
    assert.ok(completion.choices[0].text.length > 0);
    const chat = await client.chat.completions.create({ model, messages, max_tokens: 16 });
    assert.equal(chat.choices[0].message.role, "assistant");
    assert.ok(chat.choices[0].message.content.length > 0);
    assert.ok(["stop", "length"].includes(chat.choices[0].finish_reason));
    assert.equal(chat.usage.total_tokens, chat.usage.prompt_tokens + chat.usage.completion_tokens);
});

// Guards against streams that the client's parser of server-sent events rejects or considers unfinished.
test("a chat is streamed to its end", async () => {
    const stream = await client.chat.completions.create({ model, messages, max_tokens: 32, stream: true });
    let chunks = 0;
    let text = "";
    let finishReason = null;
    for await (const it of stream) {
        ++chunks;
        text += it.choices[0]?.delta?.content ?? "";
        finishReason = it.choices[0]?.finish_reason ?? finishReason;
    }
    assert.ok(chunks > 1, "the answer came in one piece");
    assert.ok(text.length > 0);
    assert.ok(["stop", "length"].includes(finishReason));
});

// Guards against a stream that is left in an undefined state in the client after it aborts the request.
test("a stream can be aborted", async () => {
    const stream = await client.chat.completions.create({ model, messages, max_tokens: 128, stream: true });
    for await (const it of stream) {
        assert.equal(it.object, "chat.completion.chunk");
        stream.controller.abort();
        break;
    }
});

// Guards against errors that the client cannot map to its exceptions.
test("errors have the status and body that the client expects", async () => {
    const stranger = new OpenAI({ baseURL, apiKey: "wrong", maxRetries: 0 });
    await assert.rejects(stranger.models.list(), OpenAI.AuthenticationError);
    await assert.rejects(client.chat.completions.create({ model: "no-such-model", messages }), (error) => {
        assert.ok(error instanceof OpenAI.NotFoundError);
        assert.equal(error.error.kind, "unknown_model");
        assert.equal(error.error.not_run, true);
        return true;
    });
    await assert.rejects(client.chat.completions.create({ model, messages: "no list" }), OpenAI.BadRequestError);
});

// Guards against a batch whose results are lost, repeated or not accessible to the client.
test("a batch runs from file to results", async () => {
    const customIds = Array.from({ length: 5 }, (_, n) => `ruling-${process.pid}-${n}`);
    const lines = customIds.map((customId) => JSON.stringify({
        custom_id: customId,
        method: "POST",
        url: "/v1/chat/completions",
        body: { model, max_tokens: 8, messages },
    }));
    const file = await client.files.create({ file: await toFile(Buffer.from(lines.join("\n")), "items.jsonl"), purpose: "batch" });
    assert.equal((await client.files.retrieve(file.id)).id, file.id);
    let batch = await client.batches.create({
        input_file_id: file.id,
        endpoint: "/v1/chat/completions",
        completion_window: "24h",
    });
    const deadline = Date.now() + batchCeilingMs;
    while (batch.status !== "completed") {
        assert.ok(Date.now() < deadline, `the batch is still ${batch.status}`);
        await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
        batch = await client.batches.retrieve(batch.id);
    }
    assert.deepEqual(batch.request_counts, { total: 5, completed: 5, failed: 0 });
    const output = await (await client.files.content(batch.output_file_id)).text();
    const results = output.trim().split("\n").map((it) => JSON.parse(it));
    assert.deepEqual(results.map((it) => it.custom_id), customIds);
    for (const it of results) {
        assert.equal(it.response.status_code, 200);
        assert.ok(it.response.body.choices[0].message.content.length > 0);
    }
    let isListed = false;
    for await (const it of client.batches.list())
        isListed ||= it.id === batch.id;
    assert.ok(isListed);
});

// Guards against a cancelled batch that is still reported as running.
test("a batch can be cancelled", async () => {
    const lines = Array.from({ length: 400 }, (_, n) => JSON.stringify({
        custom_id: `cancelled-${process.pid}-${n}`,
        method: "POST",
        url: "/v1/chat/completions",
        body: { model, max_tokens: 128, messages },
    }));
    const file = await client.files.create({ file: await toFile(Buffer.from(lines.join("\n")), "items.jsonl"), purpose: "batch" });
    const batch = await client.batches.create({
        input_file_id: file.id,
        endpoint: "/v1/chat/completions",
        completion_window: "24h",
    });
    const cancelled = await client.batches.cancel(batch.id);
    assert.ok(["cancelling", "cancelled"].includes(cancelled.status), cancelled.status);
});
