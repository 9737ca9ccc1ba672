/**
 * Receives the commands of the parent process over the IPC channel.
 *
 * @module
 */

/**
 * Handles each command of the parent process until the parent has gone, which ends this process. SIGINT is left to the parent.
 *
 * @param handleCommand Called for each command; an error is printed and ends this process with status 1
 */
export function listenToParent<Command> (handleCommand: (command: Command) => Promise<void>): void {
  process.on('message', (command: Command) => {
    handleCommand(command).catch(error => {
      console.error(error)
      process.exit(1)
    })
  })
  process.on('SIGINT', () => {})
  process.once('disconnect', () => process.exit(0))
  console.log(JSON.stringify({ ready: true }))
}
