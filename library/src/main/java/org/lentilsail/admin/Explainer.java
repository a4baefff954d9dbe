package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;

/** Explains decisions of control; an unknown VM or wave is refused with {@code NOT_FOUND}. */
public interface Explainer {
  /**
   * Explains the state of a VM.
   *
   * @param vm name of the VM
   * @return facts, and a list {@code because} of sentences
   */
  JsonNode vm(String vm);

  /**
   * Explains the state of a wave.
   *
   * @param wave name of the wave
   * @return facts, and a list {@code because} of sentences
   */
  JsonNode wave(String wave);
}
