// deno-lint-ignore-file camelcase -- field names of the OpenAI interface
/** The parts of an inference request that a fake looks at. */
export interface CompletionRequest {
  readonly isChat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number | undefined;
  readonly isStream: boolean;
  readonly wantsUsage: boolean;
}

/** The answer that a fake engine gives, before it is put into JSON. */
export interface Completion {
  readonly requestId: string;
  readonly request: CompletionRequest;
  readonly tokens: readonly string[];
}

interface RawMessage {
  readonly content?: unknown;
}

interface RawRequest {
  readonly model?: unknown;
  readonly messages?: readonly RawMessage[];
  readonly prompt?: unknown;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly stream?: boolean;
  readonly stream_options?: { readonly include_usage?: boolean };
}

/** Reads the body of an inference request; throws on anything else. */
export function parseCompletionRequest(
  path: string,
  body: string,
): CompletionRequest {
  const raw = JSON.parse(body) as RawRequest;
  if (typeof raw.model !== "string") throw new TypeError("no model");
  const isChat = path.endsWith("/chat/completions");
  const last = raw.messages?.at(-1)?.content;
  return {
    isChat,
    model: raw.model,
    prompt: String(isChat ? last : raw.prompt),
    maxTokens: raw.max_completion_tokens ?? raw.max_tokens,
    isStream: raw.stream === true,
    wantsUsage: raw.stream_options?.include_usage === true,
  };
}

/**
 * Returns the tokens of an answer; the first one repeats the prompt, so that a
 * caller can tell whether the answer is its own.
 *
 * @example
 * ```ts
 * generateTokens(request, 3); // ["echo:Hello", " 1", " 2"]
 * ```
 */
export function generateTokens(
  request: CompletionRequest,
  count: number,
): string[] {
  const wanted = Math.max(1, Math.min(count, request.maxTokens ?? count));
  return Array.from(
    { length: wanted },
    (_, index) => index === 0 ? `echo:${request.prompt}` : ` ${index}`,
  );
}

/** Renders a whole answer. */
export function renderCompletion(completion: Completion): unknown {
  const { request } = completion;
  const text = completion.tokens.join("");
  const choice = request.isChat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return {
    ...envelope(completion, request.isChat ? "chat.completion" : undefined),
    choices: [{ index: 0, ...choice, finish_reason: "stop" }],
    usage: usageOf(completion),
  };
}

/** Renders the event of one token of a stream. */
export function renderToken(completion: Completion, token: string): unknown {
  const { isChat } = completion.request;
  const choice = isChat ? { delta: { content: token } } : { text: token };
  return {
    ...envelope(completion, isChat ? "chat.completion.chunk" : undefined),
    choices: [{ index: 0, ...choice, finish_reason: null }],
  };
}

/** Renders the events that follow the last token, but for `[DONE]`. */
export function renderEnd(completion: Completion): unknown[] {
  const { isChat, wantsUsage } = completion.request;
  const head = envelope(
    completion,
    isChat ? "chat.completion.chunk" : undefined,
  );
  const choice = isChat ? { delta: {} } : { text: "" };
  const last = {
    ...head,
    choices: [{ index: 0, ...choice, finish_reason: "stop" }],
  };
  const usage = { ...head, choices: [], usage: usageOf(completion) };
  return wantsUsage ? [last, usage] : [last];
}

function envelope(completion: Completion, object = "text_completion") {
  return {
    id: `cmpl-${completion.requestId}`,
    object,
    created: 0,
    model: completion.request.model,
  };
}

function usageOf(completion: Completion) {
  const promptTokens = completion.request.prompt.split(/\s+/).length;
  const completionTokens = completion.tokens.length;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
