import { readFile } from 'node:fs/promises';
import verror from 'verror';

const LENGTH_MIN = 16;

/**
 * Reads a secret from a file or the environment, the only places that it may stand in.
 *
 * @param label - what the secret is for
 * @param file - name of a file, if one is set
 * @param variable - name of an environment variable, if one is set
 * @returns the secret
 * @throws VError named `SecretError` when there is none, or it is too short
 */
export async function readSecret(
  label: string,
  file: string | undefined,
  variable: string | undefined,
): Promise<string> {
  const fromFile = file === undefined ? undefined : (await readFile(file, 'utf8')).trim();
  const secret = fromFile ?? (variable === undefined ? undefined : process.env[variable]);
  if (secret === undefined) {
    throw new verror.VError({ name: 'SecretError' }, '%s: set its file or its variable', label);
  }
  if (secret.length < LENGTH_MIN) {
    throw new verror.VError({ name: 'SecretError' }, '%s: needs %d letters', label, LENGTH_MIN);
  }
  return secret;
}
