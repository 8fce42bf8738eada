// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Body of a model call, in the shape of chat completions. Parameters that are not listed are passed over.
 */
export interface ChatCompletionBody {
  /**
   * Model, from the configuration.
   */
  model: string;
  /**
   * The conversation, or its new part.
   *
   * @minItems 1
   * @maxItems 10000
   */
  messages: [ChatMessage, ...ChatMessage[]];
  /**
   * Most tokens of the answer.
   */
  max_tokens?: number;
  /**
   * Whether the answer comes as server-sent events.
   */
  stream: boolean;
  [k: string]: unknown;
}
export interface ChatMessage {
  /**
   * Author of the message.
   */
  role: "system" | "user" | "assistant" | "tool";
  /**
   * Text of the message.
   */
  content: string;
  [k: string]: unknown;
}

/** JSON Schema of the settings above. */
export const CHAT_COMPLETION_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "ChatCompletionBody",
  "description": "Body of a model call, in the shape of chat completions. Parameters that are not listed are passed over.",
  "type": "object",
  "required": [
    "model",
    "messages"
  ],
  "properties": {
    "model": {
      "type": "string",
      "minLength": 1,
      "maxLength": 128,
      "description": "Model, from the configuration."
    },
    "messages": {
      "type": "array",
      "minItems": 1,
      "maxItems": 10000,
      "description": "The conversation, or its new part.",
      "items": {
        "$ref": "#/definitions/chatMessage"
      }
    },
    "max_tokens": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000,
      "description": "Most tokens of the answer."
    },
    "stream": {
      "type": "boolean",
      "default": false,
      "description": "Whether the answer comes as server-sent events."
    }
  },
  "definitions": {
    "chatMessage": {
      "title": "ChatMessage",
      "type": "object",
      "required": [
        "role",
        "content"
      ],
      "properties": {
        "role": {
          "enum": [
            "system",
            "user",
            "assistant",
            "tool"
          ],
          "description": "Author of the message."
        },
        "content": {
          "type": "string",
          "description": "Text of the message."
        }
      }
    }
  }
};
