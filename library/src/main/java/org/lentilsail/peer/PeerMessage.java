package org.lentilsail.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Marks the immutable records that daemons send each other; the field {@code type} names them. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public interface PeerMessage {}
