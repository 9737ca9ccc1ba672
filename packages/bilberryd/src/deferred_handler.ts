/**
 * A request handler whose implementation is set after its listener has been opened.
 *
 * @module
 */
import type { RequestListener } from 'node:http'

/** A request handler whose implementation can be set later. */
export interface DeferredHandler {
  /** Handles a request; closes the connection while no implementation is set. */
  handle: RequestListener
  /** Sets the implementation. */
  update (handler: RequestListener): void
}

/**
 * Creates a handler without an implementation.
 *
 * @returns The handler
 */
export function createDeferredHandler (): DeferredHandler {
  let current: RequestListener | undefined
  return {
    handle (request, response) {
      if (current === undefined) response.destroy()
      else current(request, response)
    },
    update (handler) {
      current = handler
    }
  }
}
