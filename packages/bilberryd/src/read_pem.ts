/**
 * Reads certificates and keys that the settings give as text or as a path.
 *
 * @module
 */
import { readFileSync } from 'node:fs'

const pemStart = '-----BEGIN'

/**
 * Reads PEM text.
 *
 * @param textOrPath PEM text, or the path of a PEM file
 * @returns The text
 * @throws {Error} If the file can't be read
 */
export function readPem (textOrPath: string): string {
  return textOrPath.trimStart().startsWith(pemStart) ? textOrPath : readFileSync(textOrPath, 'utf8')
}
