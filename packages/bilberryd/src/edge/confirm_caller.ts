/**
 * Confirms, before an upload is sent on, that its caller has not left as far as the caller's connection tells.
 *
 * @module
 */
import type { Attempt } from './attempt.ts'
import { AttemptPhase } from './attempt.ts'

/**
 * Calls `send` at once, or for an upload whose connection is not being read since enough of its body is buffered, after the
 * connection has been read as far as bytes are at hand. A caller that has left has then abandoned the attempt.
 *
 * @param attempt The attempt
 * @param send Sends the attempt
 * @param onEnded Called instead of `send` if the attempt has ended by then
 */
export function confirmUpload (attempt: Attempt, send: () => void, onEnded: () => void = () => {}): void {
  const { body } = attempt
  if (body === undefined || body.isComplete) return send()
  if (!attempt.message.isPaused()) {
    body.release()
    return send()
  }
  attempt.phase = AttemptPhase.Confirming
  const finish = (): void => {
    body.release()
    if (attempt.phase === AttemptPhase.Confirming) send()
    else onEnded()
  }
  // Reading ahead never rejects.
  body.readAhead().then(finish, finish)
}
