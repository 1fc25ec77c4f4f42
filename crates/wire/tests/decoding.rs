//! Decoders on random, truncated and modified input: they return errors, never panic and allocate
//! no more than their limits.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sycamorelink_wire::{
    DATAGRAM_BYTES, DATAGRAM_PAYLOAD, DatagramError, FleetKey, FleetKeys, FrameDecoder, FrameError,
    FrameKind, FrameLimits, ReplyHead, WorkHead, decode_datagram, decode_payload, encode_datagram,
    encode_frame,
};

const KEY: &str = "a fleet key of the tests, 32 or more characters";

/// Decodes bytes in pieces and collects frames until an error or the end.
fn decode_in_pieces(bytes: &[u8], piece: usize) -> (Vec<(FrameKind, Vec<u8>)>, Option<FrameError>) {
    let mut decoder = FrameDecoder::new(FrameLimits::default());
    let mut frames = Vec::new();
    for part in bytes.chunks(piece) {
        decoder.push(part);
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => frames.push((frame.kind, frame.payload.to_vec())),
                Ok(None) => break,
                Err(error) => return (frames, Some(error)),
            }
        }
    }
    (frames, decoder.finish().err())
}

fn any_frames() -> impl Strategy<Value = Vec<(FrameKind, Vec<u8>)>> {
    let kind = prop::sample::select(FrameKind::ALL);
    let payload = prop::collection::vec(any::<u8>(), 0..300);
    prop::collection::vec((kind, payload), 0..8)
}

fn seeded_config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded_config())]

    #[test]
    fn frames_decode_from_pieces_of_any_size(frames in any_frames(), piece in 1_usize..700) {
        let bytes: Vec<u8> = frames
            .iter()
            .flat_map(|(kind, payload)| encode_frame(*kind, payload))
            .collect();
        prop_assert_eq!(decode_in_pieces(&bytes, piece), (frames, None));
    }

    #[test]
    fn truncated_stream_is_reported(
        frames in any_frames(),
        piece in 1_usize..700,
        cut in 1_usize..400,
    ) {
        let bytes: Vec<u8> = frames
            .iter()
            .flat_map(|(kind, payload)| encode_frame(*kind, payload))
            .collect();
        let kept = &bytes[..bytes.len().saturating_sub(cut)];
        let (decoded, error) = decode_in_pieces(kept, piece);
        let whole: usize = decoded.iter().map(|(_, payload)| payload.len() + 6).sum();
        prop_assert!(frames.starts_with(&decoded));
        prop_assert_eq!(error, (whole < kept.len()).then_some(FrameError::Truncated));
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let _ = decode_in_pieces(&bytes, 64);
        let _ = decode_payload::<WorkHead>(&bytes);
        let _ = decode_payload::<ReplyHead>(&bytes);
        let _ = decode_payload::<Vec<String>>(&bytes);
        prop_assert!(decode_datagram::<String>(&FleetKeys::only(KEY), &bytes).is_err());
    }

    #[test]
    fn modified_datagram_is_rejected(text in ".{0,200}", bit in 0_usize..8000) {
        let keys = FleetKeys::only(KEY);
        let mut bytes = encode_datagram(&keys, &text).unwrap();
        prop_assert_eq!(decode_datagram::<String>(&keys, &bytes), Ok(text));
        let bit = bit % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(decode_datagram::<String>(&keys, &bytes).is_err());
    }
}

/// A length prefix may claim gigabytes; no memory is allocated for it.
#[test]
fn claimed_length_is_not_allocated() {
    let mut claim = vec![253];
    claim.extend(u64::MAX.to_le_bytes());
    assert!(decode_payload::<Vec<u8>>(&claim).is_err());
    assert!(decode_payload::<String>(&claim).is_err());
    assert!(decode_payload::<Vec<Vec<String>>>(&claim).is_err());
}

#[test]
fn datagram_with_wrong_key_or_size_is_rejected() {
    let keys = FleetKeys::only(KEY);
    let other = FleetKeys::only("another key of the tests, 32 or more characters");
    let bytes = encode_datagram(&keys, &7_u32).unwrap();
    let decode = |keys: &FleetKeys, bytes: &[u8]| decode_datagram::<u32>(keys, bytes);
    assert_eq!(decode(&other, &bytes), Err(DatagramError::WrongKey));
    let both = FleetKeys {
        previous: Some(FleetKey::new(KEY)),
        ..other
    };
    assert_eq!(decode(&both, &bytes), Ok(7));
    assert_eq!(decode(&keys, &bytes[..9]), Err(DatagramError::Truncated(9)));
    assert_eq!(
        decode(&keys, &bytes[..16]),
        Err(DatagramError::Truncated(16))
    );
    // A byte vector of this size is encoded with a length prefix of three bytes.
    let fitting = vec![0_u8; DATAGRAM_PAYLOAD - 3];
    let datagram = encode_datagram(&keys, &fitting).expect("it fits");
    assert_eq!(datagram.len(), DATAGRAM_BYTES);
    let long = vec![0; DATAGRAM_BYTES + 1];
    assert_eq!(
        decode(&keys, &long),
        Err(DatagramError::Oversized(long.len()))
    );
    let error = encode_datagram(&keys, &long).unwrap_err();
    assert!(matches!(error, DatagramError::Oversized(_)));
    let mut version = bytes;
    version[0] = 2;
    let expected = DatagramError::Version {
        version: 2,
        kind: 64,
    };
    assert_eq!(decode(&keys, &version), Err(expected));
}
